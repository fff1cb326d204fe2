#pragma once

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Reads the files of a folder of the committed corpus, in the order
/// of their names.
/// @throw std::runtime_error when the folder is empty
inline std::vector<std::string> read_corpus(const std::string& folder)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& it : std::filesystem::directory_iterator(
             std::filesystem::path(AGATEBANK_CORPUS) / folder))
    {
        paths.push_back(it.path());
    }
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> out;
    for (const auto& path : paths)
    {
        std::ifstream in(path, std::ios::binary);
        out.emplace_back(std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>());
    }
    if (out.empty())
    {
        throw std::runtime_error("no corpus in " + folder);
    }
    return out;
}

/// @brief Mutates byte strings pseudo-randomly; the same seed gives the same
/// mutations.
class mutator
{
  public:
    explicit mutator(unsigned seed) : random_(seed) {}

    /// @brief Returns a copy with one to four mutations.
    std::string operator()(std::string bytes)
    {
        for (auto n = 1 + below(4); n > 0; --n)
        {
            change(bytes);
        }
        return bytes;
    }

  private:
    std::size_t below(std::size_t limit)
    {
        return random_() % limit;
    }

    void change(std::string& bytes)
    {
        if (bytes.empty())
        {
            bytes.push_back(static_cast<char>(below(256)));
            return;
        }
        const auto at = below(bytes.size());
        const auto n = 1 + below(std::min<std::size_t>(8, bytes.size() - at));
        switch (below(7))
        {
        case 0:
            bytes[at] = static_cast<char>(below(256));
            break;
        case 1: // extreme values of numbers and lengths
            bytes.replace(at, n, std::string(n, below(2) == 0 ? '\xff' : '\0'));
            break;
        case 2:
            bytes.erase(at, n);
            break;
        case 3:
            bytes.insert(at, bytes.substr(at, n));
            break;
        case 4:
            bytes.resize(at);
            break;
        case 5: // brackets, quotes, digits, signs
            bytes.insert(at, 1, "[]{}\",:\\-0919eE.\x80"[below(17)]);
            break;
        default:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
            break;
        }
    }

    std::mt19937 random_;
};

} // namespace agatebank
