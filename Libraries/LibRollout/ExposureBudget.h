// Bounds the calls that a node sends to a version on trial to a share of the calls of the service that it
// completed itself. The bound then holds for all nodes together without communication, also when some of them
// restart: a restarted node starts with nothing to spend.
#pragma once

#include <algorithm>

namespace Sagecrank {

class ExposureBudget
{
public:
    // A call of the service has reached an upstream while `share` of the calls may go to the version on
    // trial.
    void recordArrival(double share) { this->calls = std::min(this->calls + share, maximumCalls); }

    // Takes one call from the budget; returns false if there is none.
    bool tryAcquire()
    {
        if (this->calls < 1)
            return false;
        this->calls -= 1;
        return true;
    }

private:
    // Keeps calls that were saved up while no upstream was on trial from arriving as a burst.
    static constexpr double maximumCalls = 2;

    double calls = 0;
};

} // namespace Sagecrank
