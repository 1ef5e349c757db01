// Access to the attributes of a row: see Ports.h.
#include <LibSource/Ports.h>

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

} // namespace Sagecrank
