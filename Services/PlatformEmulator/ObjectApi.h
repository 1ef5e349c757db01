// The object store: the path-style subset of S3's REST protocol that the system uses.
#pragma once

#include <PlatformEmulator/Operation.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Sagecrank {

class ObjectApi
{
public:
    // `path` is "/bucket/key".
    Operation parseRequest(std::string_view method, std::string_view path, std::string_view body);
    std::size_t objectCount() const { return this->objects.size(); }

    static HttpResponse errorResponse(unsigned status, std::string_view code, std::string_view message);

private:
    struct Object
    {
        std::string content;
        std::string etag; // Quoted; equal content has an equal ETag.
    };

    HttpResponse put(const std::string &path, const std::string &content);
    HttpResponse get(const std::string &path) const;
    HttpResponse remove(const std::string &path);

    std::map<std::string, Object, std::less<>> objects;
};

} // namespace Sagecrank
