#include <agatebank/core/configuration_document.hpp>
#include <agatebank/core/inventory_csv.hpp>

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace agatebank
{

namespace
{

using nlohmann::json;
namespace x3 = boost::spirit::x3;

constexpr const char* step_parse = "inventory.parse_csv";
constexpr std::size_t max_records = 20001; // 20000 targets and the header
constexpr std::size_t max_shown_characters = 60;

enum class column_kind
{
    text,
    number,
    labels
};

struct column_rule
{
    const char* name;
    column_kind kind;
    bool required;
};

constexpr std::array column_rules{
    column_rule{"target", column_kind::text, true},
    column_rule{"worker", column_kind::text, true},
    column_rule{"rack", column_kind::text, true},
    column_rule{"failure_domain", column_kind::text, true},
    column_rule{"cores", column_kind::number, false},
    column_rule{"memory_mib", column_kind::number, false},
    column_rule{"accelerators", column_kind::number, false},
    column_rule{"slots", column_kind::number, true},
    column_rule{"labels", column_kind::labels, false}};

// One record and the number of its first line; quoted fields may contain line
// breaks.
struct csv_record
{
    std::size_t line = 1;
    std::vector<std::string> fields;
};

tl::unexpected<failure> invalid(const std::string& peer, std::size_t line,
                                const std::string& column,
                                const std::string& found,
                                const std::string& expected)
{
    std::string at = "line " + std::to_string(line);
    if (!column.empty())
    {
        at += ", column " + column;
    }
    return fail(errc::configuration_invalid, step_parse, peer,
                "at " + at + ": found " + found + ", expected " + expected);
}

std::string quote(const std::string& text)
{
    return json(text.substr(0, max_shown_characters))
        .dump(-1, ' ', true, json::error_handler_t::replace);
}

// Parses one record (RFC 4180) up to and including its line end.
bool parse_record(const char*& it, const char* end,
                  std::vector<std::string>& out)
{
    using x3::char_;
    using x3::lit;
    using fields = std::vector<std::string>;
    const auto line_end = x3::eol | x3::eoi;
    const auto quoted = lit('"') >>
                        *((lit("\"\"") >> x3::attr('"')) | (char_ - '"')) >>
                        lit('"');
    const auto unquoted = *(char_ - (char_(",\"") | x3::eol));
    const auto field = x3::rule<struct field_tag, std::string>{} =
        quoted | unquoted;
    const auto record = x3::rule<struct record_tag, fields>{} = field % ',';
    return x3::parse(it, end, record >> line_end, out);
}

result<std::vector<csv_record>> parse_records(std::string_view text,
                                              const std::string& peer)
{
    std::vector<csv_record> out;
    const char* it = text.data();
    const char* end = it + text.size();
    std::size_t line = 1;
    while (it != end)
    {
        const char* begin = it;
        csv_record record;
        record.line = line;
        if (!parse_record(it, end, record.fields))
        {
            return invalid(peer, line, {},
                           quote({begin, std::find(begin, end, '\n')}),
                           "fields as in RFC 4180");
        }
        line += static_cast<std::size_t>(std::count(begin, it, '\n'));
        const bool blank =
            record.fields.size() == 1 && record.fields.front().empty();
        if (!blank)
        {
            out.push_back(std::move(record));
        }
        if (out.size() > max_records)
        {
            return invalid(peer, line, {}, "more records",
                           "at most " + std::to_string(max_records));
        }
    }
    return out;
}

const column_rule* find_column(const std::string& name)
{
    const auto* it =
        std::find_if(column_rules.begin(), column_rules.end(),
                     [&](const auto& rule) { return rule.name == name; });
    return it == column_rules.end() ? nullptr : it;
}

using column_list = std::vector<const column_rule*>;

result<column_list> read_header(const std::vector<csv_record>& records,
                                const std::string& peer)
{
    if (records.empty())
    {
        return invalid(peer, 1, {}, "nothing", "a line of column names");
    }
    column_list out;
    const auto& header = records.front();
    for (const auto& name : header.fields)
    {
        const auto* rule = find_column(name);
        if (rule == nullptr)
        {
            return invalid(peer, header.line, quote(name), "an unknown column",
                           "no such column");
        }
        if (std::find(out.begin(), out.end(), rule) != out.end())
        {
            return invalid(peer, header.line, name, "the column again",
                           "each column once");
        }
        out.push_back(rule);
    }
    for (const auto& rule : column_rules)
    {
        if (rule.required &&
            std::find(out.begin(), out.end(), &rule) == out.end())
        {
            return invalid(peer, header.line, rule.name, "nothing",
                           "the column");
        }
    }
    return out;
}

json split_labels(const std::string& text)
{
    auto out = json::array();
    std::size_t begin = 0;
    while (!text.empty() && begin <= text.size())
    {
        const auto end = std::min(text.find(';', begin), text.size());
        out.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return out;
}

bool parse_whole_number(const std::string& text, uint32_t& out)
{
    const auto* it = text.data();
    const auto* end = it + text.size();
    return x3::parse(it, end, x3::uint32, out) && it == end;
}

result<json> read_row(const csv_record& record, const column_list& columns,
                      const std::string& peer)
{
    if (record.fields.size() != columns.size())
    {
        return invalid(peer, record.line, {},
                       std::to_string(record.fields.size()) + " fields",
                       std::to_string(columns.size()));
    }
    auto out = json::object();
    for (std::size_t i = 0; i < columns.size(); ++i)
    {
        const auto& text = record.fields[i];
        const auto& rule = *columns[i];
        uint32_t n = 0;
        if (rule.kind == column_kind::text)
        {
            out[rule.name] = text;
        }
        else if (rule.kind == column_kind::labels)
        {
            out[rule.name] = split_labels(text);
        }
        else if (parse_whole_number(text, n))
        {
            out[rule.name] = n;
        }
        else if (!text.empty() || rule.required)
        {
            return invalid(peer, record.line, rule.name, quote(text),
                           "a whole number");
        }
    }
    return out;
}

// Replaces the JSON path in a failure by the position in the CSV text: turns
// "at /inventory/3/slots: ..." into "at line 5, column slots: ...".
failure with_csv_position(failure f, const std::vector<std::size_t>& lines)
{
    constexpr std::string_view prefix = "at /inventory/";
    if (f.detail.compare(0, prefix.size(), prefix) != 0)
    {
        return f;
    }
    const char* it = f.detail.data() + prefix.size();
    const char* end = f.detail.data() + f.detail.size();
    unsigned long long row = 0;
    std::string column;
    if (x3::parse(it, end, x3::ulong_long, row) && row < lines.size())
    {
        x3::parse(it, end, '/' >> +(x3::alpha | x3::char_('_')), column);
        f.detail = "at line " + std::to_string(lines[row]) + ", column " +
                   column + std::string(std::find(it, end, ':'), end);
    }
    return f;
}

std::string to_field(const std::string& text)
{
    if (text.find_first_of(",\"\r\n") == std::string::npos)
    {
        return text;
    }
    std::string out = "\"";
    for (const char c : text)
    {
        out += c;
        if (c == '"')
        {
            out += c;
        }
    }
    return out + "\"";
}

std::string to_field(const json& value)
{
    if (value.is_string())
    {
        return to_field(value.get<std::string>());
    }
    if (value.is_number())
    {
        return value.dump();
    }
    std::string out;
    for (const auto& label : value)
    {
        out += (out.empty() ? "" : ";") + label.get<std::string>();
    }
    return to_field(out);
}

} // namespace

result<std::vector<inventory_row>> parse_inventory_csv(std::string_view text,
                                                       const std::string& peer)
{
    const auto records = parse_records(text, peer);
    if (!records)
    {
        return tl::unexpected(records.error());
    }
    const auto columns = read_header(*records, peer);
    if (!columns)
    {
        return tl::unexpected(columns.error());
    }
    auto rows = json::array();
    std::vector<std::size_t> lines;
    for (std::size_t i = 1; i < records->size(); ++i)
    {
        auto row = read_row((*records)[i], *columns, peer);
        if (!row)
        {
            return tl::unexpected(row.error());
        }
        rows.push_back(std::move(*row));
        lines.push_back((*records)[i].line);
    }
    const json document{{"inventory", std::move(rows)}};
    const auto document_text =
        document.dump(-1, ' ', false, json::error_handler_t::replace);
    return parse_inventory(document_text, peer)
        .map_error([&](const failure& f)
                   { return with_csv_position(f, lines); });
}

std::string to_csv(const std::vector<inventory_row>& inventory)
{
    std::string out;
    for (const auto& rule : column_rules)
    {
        out += (out.empty() ? "" : ",") + std::string(rule.name);
    }
    out += "\r\n";
    for (const auto& row : inventory)
    {
        const auto value = to_json(row);
        const char* separator = "";
        for (const auto& rule : column_rules)
        {
            out += separator + to_field(value.at(rule.name));
            separator = ",";
        }
        out += "\r\n";
    }
    return out;
}

} // namespace agatebank
