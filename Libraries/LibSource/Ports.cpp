// Implements row attributes and put conditions; see Ports.h.
#include <LibSource/Ports.h>

#include <algorithm>

namespace Sagecrank {

const std::string *Row::text(const std::string &name) const
{
    const auto found = this->attributes.find(name);
    return found == this->attributes.end() ? nullptr : std::get_if<std::string>(&found->second);
}

const std::uint64_t *Row::number(const std::string &name) const
{
    const auto found = this->attributes.find(name);
    return found == this->attributes.end() ? nullptr : std::get_if<std::uint64_t>(&found->second);
}

bool PutCondition::matches(const std::optional<Row> &existing) const
{
    if (this->unconditional())
        return true;
    if (!existing)
        return this->absent;
    const auto attributesMatch = [&](const Attributes &wanted) {
        return std::all_of(wanted.begin(), wanted.end(), [&](const auto &entry) {
            const auto found = existing->attributes.find(entry.first);
            return found != existing->attributes.end() && found->second == entry.second;
        });
    };
    return std::any_of(this->anyOf.begin(), this->anyOf.end(), attributesMatch);
}

} // namespace Sagecrank
