// Reads one HTTP answer after the other from a connection's bytes, keeping only what the load tool looks at.
// Memory is kept between answers.
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
    std::string outcome; // Header Sagecrank-Outcome; empty when there is none.
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

    // Begins a new answer.
    void reset();
    // Takes more bytes. What comes after a complete answer makes it Malformed, since nothing was asked.
    ReadProgress feed(std::string_view bytes);
    const Response &response() const { return this->current; }

private:
    class Parser;

    Response current;
    std::string pending; // Bytes of a header that is not whole yet.
    std::unique_ptr<Parser> parser;
};

} // namespace Sagecrank
