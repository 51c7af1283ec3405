# agatevane_library(<topic> [dependency...]): the library of src/agatevane/<topic>, linked to other topics or raw libraries.
function(agatevane_library TOPIC)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(SOURCES)
        add_library(agatevane_${TOPIC} STATIC ${SOURCES})
        set(SCOPE PUBLIC)
    else()
        add_library(agatevane_${TOPIC} INTERFACE)
        set(SCOPE INTERFACE)
    endif()
    agatevane_link(agatevane_${TOPIC} ${SCOPE} ${ARGN})
endfunction()

# agatevane_program(<name> [dependency...]): one binary from the sources of the current directory.
function(agatevane_program NAME)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${NAME} ${SOURCES})
    agatevane_link(${NAME} PRIVATE ${ARGN})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# agatevane_test(<topic> [dependency...]): the one test program of a library; registered with ctest as <topic>.
function(agatevane_test TOPIC)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(test_${TOPIC} ${SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/free_port.cpp)
    target_compile_definitions(test_${TOPIC} PRIVATE BOOST_TEST_DYN_LINK)
    agatevane_link(test_${TOPIC} PRIVATE ${ARGN} boost_unit_test_framework rapidcheck)
    set_target_properties(test_${TOPIC} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
    add_test(NAME ${TOPIC} COMMAND test_${TOPIC} WORKING_DIRECTORY ${CMAKE_BINARY_DIR})
    # A fixed seed gives the same verdict on every run; set RC_PARAMS by hand to explore others.
    set_tests_properties(${TOPIC} PROPERTIES TIMEOUT 300 ENVIRONMENT
        "RC_PARAMS=seed=20261204;AGATEVANE_BIN=${CMAKE_BINARY_DIR}/bin;AGATEVANE_SOURCE=${CMAKE_SOURCE_DIR}")
endfunction()

# Dependencies that name a topic directory become its library; anything else is passed to the linker.
function(agatevane_link TARGET SCOPE)
    foreach(DEPENDENCY ${ARGN})
        if(EXISTS ${CMAKE_SOURCE_DIR}/src/agatevane/${DEPENDENCY}/CMakeLists.txt)
            target_link_libraries(${TARGET} ${SCOPE} agatevane_${DEPENDENCY})
        else()
            target_link_libraries(${TARGET} ${SCOPE} ${DEPENDENCY})
        endif()
    endforeach()
    target_link_libraries(${TARGET} ${SCOPE} Threads::Threads)
endfunction()
