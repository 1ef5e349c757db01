// Parameterised tests over a table of rows. Criterion runs each row in a separate process with different
// addresses, so rows that hold pointers cannot be passed by value; only the row's index is passed.
#pragma once

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <iterator>
#include <numeric>

// TABLE_TEST(suite, test, rows) { ... } runs its body once for each element of the array `rows`, as `row`.
#define TABLE_TEST(suite, test, rows)                                                                        \
    static void suite##test##Row(const std::remove_cvref_t<decltype((rows)[0])> &row);                       \
    ParameterizedTestParameters(suite, test)                                                                 \
    {                                                                                                        \
        static std::size_t indices[std::size(rows)];                                                         \
        std::iota(std::begin(indices), std::end(indices), std::size_t{0});                                   \
        return cr_make_param_array(std::size_t, indices, std::size(rows));                                   \
    }                                                                                                        \
    ParameterizedTest(std::size_t *index, suite, test)                                                       \
    {                                                                                                        \
        suite##test##Row((rows)[*index]);                                                                    \
    }                                                                                                        \
    static void suite##test##Row(const std::remove_cvref_t<decltype((rows)[0])> &row)
