#include "id_file.hpp"

#include <agatebank/loop/object_ptr.hpp>

#include <glib.h>

#include <fstream>

namespace agatebank::detail
{

std::string read_id_file(const std::string& name)
{
    std::ifstream file(name);
    std::string id;
    file >> id;
    return id;
}

result<void> write_id_file(const std::string& name, const std::string& id)
{
    constexpr int owner_only = 0600;
    const auto text = id + "\n";
    GError* raw_error = nullptr;
    const auto flags = static_cast<GFileSetContentsFlags>(
        G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE);
    if (g_file_set_contents_full(name.c_str(), text.data(),
                                 static_cast<gssize>(text.size()), flags,
                                 owner_only, &raw_error) == FALSE)
    {
        const error_ptr error(raw_error);
        return fail(errc::settings_unreadable, "cli.write_id", name,
                    error->message);
    }
    return {};
}

} // namespace agatebank::detail
