#define BOOST_TEST_MODULE timeline_tool
#include <boost/test/unit_test.hpp>
