# Dependencies, compile options and functions shared by all packages.
find_package(PkgConfig REQUIRED)
pkg_check_modules(GLIB REQUIRED IMPORTED_TARGET glib-2.0 gio-2.0 gio-unix-2.0)
pkg_check_modules(SOUP REQUIRED IMPORTED_TARGET libsoup-3.0)
find_package(Boost REQUIRED COMPONENTS log program_options)
find_package(Threads REQUIRED)
if(AGATEBANK_TESTS)
    find_package(Catch2 2 REQUIRED)
    include(Catch)
endif()

add_library(agatebank_options INTERFACE)
target_compile_options(
    agatebank_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow
    -Wnon-virtual-dtor -Werror)
target_compile_definitions(agatebank_options INTERFACE BOOST_LOG_DYN_LINK)

# agatebank_package(NAME SOURCES ... DEPENDS ...) adds the library
# agatebank_NAME; its sources live in src/, its headers in include/.
function(agatebank_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    if(ARG_SOURCES)
        add_library(agatebank_${name} STATIC ${ARG_SOURCES})
        target_include_directories(
            agatebank_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
        target_link_libraries(
            agatebank_${name} PUBLIC agatebank_options ${ARG_DEPENDS})
    else()
        add_library(agatebank_${name} INTERFACE)
        target_include_directories(
            agatebank_${name} INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
        target_link_libraries(
            agatebank_${name} INTERFACE agatebank_options ${ARG_DEPENDS})
    endif()
endfunction()

# agatebank_tests(NAME SOURCES ... DEPENDS ...) adds one Catch2 program of
# unit-*.cpp files; every test case becomes a CTest test with a fixed seed.
function(agatebank_tests name)
    if(NOT AGATEBANK_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(
        ${name} PRIVATE agatebank_options agatebank_test_main ${ARG_DEPENDS})
    target_include_directories(${name}
                               PRIVATE ${CMAKE_SOURCE_DIR}/tests/support)
    catch_discover_tests(
        ${name} TEST_PREFIX "${name}: "
        PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

if(AGATEBANK_TESTS)
    add_library(agatebank_test_main STATIC ${CMAKE_SOURCE_DIR}/tests/main.cpp)
    target_link_libraries(
        agatebank_test_main PUBLIC Catch2::Catch2 rapidcheck Threads::Threads)
endif()
