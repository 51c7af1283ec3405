#define BOOST_TEST_MODULE event_http
#include <boost/test/unit_test.hpp>
