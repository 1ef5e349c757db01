// Readings of the system's own counters.
#include "Meter.h"

#include <malloc.h>
#include <unistd.h>

#include <ctime>
#include <fstream>

namespace Sagecrank {

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t residentBytes()
{
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    std::size_t whole = 0;
    std::size_t resident = 0;
    file >> whole >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace Sagecrank
