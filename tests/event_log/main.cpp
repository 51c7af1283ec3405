#define BOOST_TEST_MODULE event_log
#include <boost/test/unit_test.hpp>
