// Looking up headers and building answers.
#include <LibNet/HttpMessages.h>

#include <algorithm>

namespace Sagecrank {

namespace {

char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char first, char second) { return lowerCase(first) == lowerCase(second); });
}

std::string_view findHeader(const std::vector<Header> &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (sameHeaderName(header.name, name))
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
