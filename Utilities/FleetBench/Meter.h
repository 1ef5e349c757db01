// Processor time and memory of this process.
#pragma once

#include <cstddef>

namespace Sagecrank {

// Seconds that this process has spent on a processor.
double processorSeconds();

// Bytes of memory that are resident now, after free memory was given back to the system.
std::size_t residentBytes();

} // namespace Sagecrank
