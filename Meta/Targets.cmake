# Each part is a folder; its sources are the .cpp files beside its CMakeLists.txt.

function(sagecrank_library name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_link_libraries(${name} PUBLIC ${ARGN})
    else()
        add_library(${name} INTERFACE)
        target_link_libraries(${name} INTERFACE ${ARGN})
    endif()
endfunction()

function(sagecrank_program name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# One Criterion program per folder of tests; TestX.cpp files beside its CMakeLists.txt.
function(sagecrank_tests name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
    target_link_libraries(${name} PRIVATE ${ARGN} criterion)
    add_test(NAME ${name} COMMAND ${name} -j4)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
