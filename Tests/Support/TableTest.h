// Parameterised tests over a table of rows. Criterion runs each row in a process of its own whose addresses
// differ, so a row may not travel by value when it holds pointers; only its index does.
#pragma once

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <iterator>
#include <numeric>

// TABLE_TEST(suite, name, rows) { ... uses `row` ... } runs its body once for each element of the array
// `rows`.
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
