#include <agatebank/loop/hook_source.hpp>

#include <glib-unix.h>

#include <utility>

namespace agatebank
{

namespace
{

// GLib allocates the source and casts it to its own type.
struct hook_source
{
    GSource base;
    source_hooks* hooks;
    gpointer fd_tag; ///< null: no descriptor
};

hook_source* to_hook_source(GSource* s)
{
    return reinterpret_cast<hook_source*>(s);
}

gboolean prepare(GSource* s, gint* timeout)
{
    *timeout = to_hook_source(s)->hooks->timeout_ms();
    return static_cast<gboolean>(*timeout == 0);
}

gboolean check(GSource* s)
{
    auto* self = to_hook_source(s);
    const bool readable =
        self->fd_tag != nullptr && g_source_query_unix_fd(s, self->fd_tag) != 0;
    return static_cast<gboolean>(readable || self->hooks->timeout_ms() == 0);
}

gboolean dispatch(GSource* s, GSourceFunc, gpointer)
{
    to_hook_source(s)->hooks->dispatch();
    return G_SOURCE_CONTINUE;
}

void finalize(GSource* s)
{
    delete to_hook_source(s)->hooks;
}

GSourceFuncs functions{prepare, check, dispatch, finalize, nullptr, nullptr};

} // namespace

source_ptr attach_hook_source(source_hooks hooks, int fd)
{
    source_ptr out(g_source_new(&functions, sizeof(hook_source)));
    auto* self = to_hook_source(out.get());
    self->hooks = new source_hooks(std::move(hooks));
    self->fd_tag =
        fd < 0 ? nullptr : g_source_add_unix_fd(out.get(), fd, G_IO_IN);
    g_source_set_can_recurse(out.get(), TRUE);
    g_source_attach(out.get(), nullptr);
    return out;
}

} // namespace agatebank
