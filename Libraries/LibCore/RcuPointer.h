// A pointer to an immutable value that many request threads read and one control thread replaces.
// Readers take no lock and are never held up by a replacement: read-copy-update by liburcu.
#pragma once

#include <urcu/urcu-memb.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace Sagecrank {

// Registers the calling thread as a reader for as long as it stands. Every thread that reads or replaces
// an RcuPointer owns one; a read by an unregistered thread would not be waited for and could see freed
// memory.
class RcuThread
{
public:
    RcuThread() { urcu_memb_register_thread(); }
    ~RcuThread() { urcu_memb_unregister_thread(); }
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;
};

template <typename T>
class RcuPointer
{
public:
    // Keeps the value that it saw alive. Short-lived: a reader that stays open delays every replacement,
    // so none is held across an asynchronous step.
    class Reader
    {
    public:
        explicit Reader(const RcuPointer &pointer)
        {
            urcu_memb_read_lock();
            this->value = pointer.current.load(std::memory_order_acquire);
        }
        ~Reader() { urcu_memb_read_unlock(); }
        Reader(const Reader &) = delete;
        Reader &operator=(const Reader &) = delete;

        const T *operator->() const { return this->value; }
        const T &operator*() const { return *this->value; }
        explicit operator bool() const { return this->value != nullptr; }

    private:
        const T *value = nullptr;
    };

    RcuPointer() = default;
    explicit RcuPointer(std::unique_ptr<const T> first)
        : current(first.release())
    {
    }
    ~RcuPointer() { delete this->current.load(); }
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    // Blocks until no reader can see the replaced value, so it is never called on a request thread.
    void replace(std::unique_ptr<const T> next)
    {
        const std::lock_guard guard(this->writers);
        const T *old = this->current.exchange(next.release(), std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    std::atomic<const T *> current = nullptr; // Owned; deleted only after a grace period.
    std::mutex writers;
};

} // namespace Sagecrank
