// Parses the HTTP responses on a connection one after the other, and keeps only the fields that the load tool
// uses. Buffers are reused between responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Sagecrank {

struct Response
{
    unsigned status = 0;
    bool keepAlive = true;
    bool replayed = false;
    std::uint64_t retryAfterMilliseconds = 0;
    std::string outcome; // Header Sagecrank-Outcome; empty if absent.
    std::string reason;
    std::string callId; // Header Sagecrank-Call-Id.
    std::string body;
};

enum class ReadProgress { Incomplete, Complete, Malformed };

class ResponseReader
{
public:
    ResponseReader();
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    // Starts a new response.
    void reset();
    // Parses more bytes. Bytes after a complete response make it Malformed, since no request is outstanding.
    ReadProgress feed(std::string_view bytes);
    const Response &response() const { return this->currentResponse; }

private:
    class Parser;

    Response currentResponse;
    std::string pending; // Bytes of an incomplete header.
    std::unique_ptr<Parser> parser;
};

} // namespace Sagecrank
