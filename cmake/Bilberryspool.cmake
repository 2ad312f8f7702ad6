# Helpers that every CMakeLists.txt of the tree uses, so that each module only
# names its sources and what it depends on.

function(bilberryspool_compile_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror -Wno-missing-field-initializers)
  target_include_directories(${target} SYSTEM PUBLIC ${Boost_INCLUDE_DIRS})
  if(BILBERRYSPOOL_SANITIZE)
    # g++ 12 reports false maybe-uninitialized findings under the sanitizers.
    target_compile_options(${target} PRIVATE -fsanitize=address,undefined -fno-sanitize-recover=undefined -Wno-error=maybe-uninitialized)
    target_link_options(${target} PUBLIC -fsanitize=address,undefined)
  endif()
  if(BILBERRYSPOOL_MUTATION)
    target_compile_definitions(${target} PRIVATE BILBERRYSPOOL_MUTATION_${BILBERRYSPOOL_MUTATION}=1)
  endif()
endfunction()

# bilberryspool_add_library(NAME SOURCES a.cc ... DEPENDS targets ...)
# Sources are found below the calling folder; headers are included as
# "libs/NAME/header.h" or "plugins/NAME/header.h".
function(bilberryspool_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(${name} STATIC ${ARG_SOURCES})
    bilberryspool_compile_options(${name})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

function(bilberryspool_add_executable name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  bilberryspool_compile_options(${name})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Threads::Threads)
endfunction()

# A doctest program that ctest runs as one test. Timings are never assertions,
# so the time limit only ends a run that hangs.
function(bilberryspool_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  # Compiled once for all tests: it holds the whole test library.
  if(NOT TARGET test_main)
    add_library(test_main OBJECT ${PROJECT_SOURCE_DIR}/tests/auto/test_main.cc)
    bilberryspool_compile_options(test_main)
  endif()
  add_executable(${name} ${ARG_SOURCES} $<TARGET_OBJECTS:test_main>)
  bilberryspool_compile_options(${name})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Threads::Threads)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# Adds each direct subfolder that has a CMakeLists.txt, so that parts can be
# added side by side without editing one shared list.
function(bilberryspool_add_subdirectories)
  file(GLOB children CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
  list(SORT children)
  foreach(child ${children})
    get_filename_component(folder ${child} DIRECTORY)
    add_subdirectory(${folder})
  endforeach()
endfunction()
