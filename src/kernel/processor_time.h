#ifndef BUCKTHORNSHUNT_KERNEL_PROCESSOR_TIME_H
#define BUCKTHORNSHUNT_KERNEL_PROCESSOR_TIME_H

#include "buckthornshunt/time.h"

namespace buckthornshunt {

/// Processor time that this process has used since its start.
Duration
ProcessorTime();

} // namespace buckthornshunt

#endif
