// Implements header lookup and response construction.
#include <LibCore/AsciiText.h>
#include <LibNet/HttpMessages.h>

namespace Sagecrank {

bool headerNamesEqual(std::string_view left, std::string_view right)
{
    return sameWithoutCase(left, right);
}

std::string_view findHeader(const std::vector<Header> &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (headerNamesEqual(header.name, name))
            return header.value;
    }
    return {};
}

HttpResponse makeResponse(std::uint32_t status, std::string_view contentType, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", std::string(contentType)});
    response.body = std::move(body);
    return response;
}

} // namespace Sagecrank
