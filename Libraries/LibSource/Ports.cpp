// Access to the attributes of a row: see Ports.h.
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

bool PutCondition::holdsFor(const std::optional<Row> &standing) const
{
    if (this->unconditional())
        return true;
    if (!standing)
        return this->absent;
    const auto matches = [&](const Attributes &wanted) {
        return std::all_of(wanted.begin(), wanted.end(), [&](const auto &entry) {
            const auto found = standing->attributes.find(entry.first);
            return found != standing->attributes.end() && found->second == entry.second;
        });
    };
    return std::any_of(this->anyOf.begin(), this->anyOf.end(), matches);
}

} // namespace Sagecrank
