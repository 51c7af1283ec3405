#define BOOST_TEST_MODULE worker_api
#include <boost/test/unit_test.hpp>
