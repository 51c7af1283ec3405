#define BOOST_TEST_MODULE shard_owner
#include <boost/test/unit_test.hpp>
