#define BOOST_TEST_MODULE idempotency
#include <boost/test/unit_test.hpp>
