#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace vanilladeck::core {

/// A value or a typed error. Accessing the inactive alternative terminates the process.
template <class T, class E>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

}  // namespace vanilladeck::core
