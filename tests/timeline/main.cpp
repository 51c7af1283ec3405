#define BOOST_TEST_MODULE timeline
#include <boost/test/unit_test.hpp>
