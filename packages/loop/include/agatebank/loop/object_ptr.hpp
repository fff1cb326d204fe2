#pragma once

#include <gio/gio.h>

#include <memory>

namespace agatebank
{

namespace detail
{

struct object_unref
{
    void operator()(gpointer p) const noexcept
    {
        g_object_unref(p);
    }
};

struct error_free
{
    void operator()(GError* e) const noexcept
    {
        g_error_free(e);
    }
};

struct bytes_unref
{
    void operator()(GBytes* b) const noexcept
    {
        g_bytes_unref(b);
    }
};

struct source_destroy
{
    void operator()(GSource* s) const noexcept
    {
        g_source_destroy(s);
        g_source_unref(s);
    }
};

} // namespace detail

/// @brief Owns one reference to a GObject.
template <class T>
using object_ptr = std::unique_ptr<T, detail::object_unref>;

/// @brief Owns a GError.
using error_ptr = std::unique_ptr<GError, detail::error_free>;

/// @brief Owns one reference to a GBytes.
using bytes_ptr = std::unique_ptr<GBytes, detail::bytes_unref>;

/// @brief Owns an attached GSource; destroying it removes the source.
using source_ptr = std::unique_ptr<GSource, detail::source_destroy>;

/// @brief Adds a reference to a GObject and returns its owner.
template <class T>
object_ptr<T> share_object(T* p)
{
    return object_ptr<T>(static_cast<T*>(g_object_ref(p)));
}

} // namespace agatebank
