#include "standard_error_writer.h"

#include <log4cxx/helpers/exception.h>
#include <log4cxx/helpers/transcoder.h>
#include <string>
#include <unistd.h>

#include <corkward/core/standard_streams.h>

namespace corkward::core {

void StandardErrorWriter::close(log4cxx::helpers::Pool& /*pool*/) {}

void StandardErrorWriter::flush(log4cxx::helpers::Pool& /*pool*/) {}

void StandardErrorWriter::write(log4cxx::LogString const& line, log4cxx::helpers::Pool& /*pool*/) {
  LOG4CXX_ENCODE_CHAR(text, line);
  if (isCut_) {
    if (!writeWithoutWaiting(STDERR_FILENO, "\n")) throw log4cxx::helpers::IOException();
    isCut_ = false;
  }
  if (writeWithoutWaiting(STDERR_FILENO, text)) return;
  isCut_ = true;
  throw log4cxx::helpers::IOException();
}

}  // namespace corkward::core
