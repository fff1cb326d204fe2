#include <agatebank/loop/socket_source.hpp>

namespace agatebank
{

source_ptr watch_socket(GSocket* socket, GIOCondition condition,
                        GSocketSourceFunc callback, gpointer data)
{
    source_ptr source(g_socket_create_source(socket, condition, nullptr));
    g_source_set_can_recurse(source.get(), TRUE);
    g_source_set_callback(source.get(), G_SOURCE_FUNC(callback), data, nullptr);
    g_source_attach(source.get(), nullptr);
    return source;
}

} // namespace agatebank
