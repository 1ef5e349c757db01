// Parses object requests and applies them to the in-memory objects.
#include <PlatformEmulator/ObjectApi.h>

#include <xxhash.h>

#include <cstdio>

namespace Sagecrank {

namespace {

std::string makeETag(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    char text[40];
    std::snprintf(text, sizeof(text), "\"%016llx%016llx\"", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text;
}

} // namespace

Operation ObjectApi::parseRequest(std::string_view method, std::string_view path, std::string_view body)
{
    const std::string name(path);
    const std::size_t slash = path.find('/', 1);
    if (slash == std::string_view::npos || slash + 1 == path.size())
        return Operation{false, 1, [] { return errorResponse(400, "InvalidURI", "expected /bucket/key"); }};
    if (method == "PUT")
        return Operation{true, 1,
                         [this, name, content = std::string(body)] { return this->put(name, content); }};
    if (method == "GET" || method == "HEAD")
        return Operation{false, 1, [this, name] { return this->get(name); }};
    if (method == "DELETE")
        return Operation{true, 1, [this, name] { return this->remove(name); }};
    return Operation{false, 1,
                     [] { return errorResponse(405, "MethodNotAllowed", "use PUT, GET, HEAD or DELETE"); }};
}

HttpResponse ObjectApi::put(const std::string &path, const std::string &content)
{
    const auto stored = this->objects.insert_or_assign(path, Object{content, makeETag(content)}).first;
    HttpResponse response = makeResponse(200, "application/xml", "");
    response.headers.push_back({"ETag", stored->second.etag});
    return response;
}

HttpResponse ObjectApi::get(const std::string &path) const
{
    const auto found = this->objects.find(path);
    if (found == this->objects.end())
        return errorResponse(404, "NoSuchKey", "The specified key does not exist.");
    HttpResponse response = makeResponse(200, "binary/octet-stream", found->second.content);
    response.headers.push_back({"ETag", found->second.etag});
    return response;
}

HttpResponse ObjectApi::remove(const std::string &path)
{
    this->objects.erase(path);
    return makeResponse(204, "application/xml", "");
}

HttpResponse ObjectApi::errorResponse(unsigned status, std::string_view code, std::string_view message)
{
    const std::string body = "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<Error><Code>" + std::string(code)
                             + "</Code><Message>" + std::string(message) + "</Message></Error>";
    return makeResponse(status, "application/xml", body);
}

} // namespace Sagecrank
