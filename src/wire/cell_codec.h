#ifndef BUCKTHORNSHUNT_WIRE_CELL_CODEC_H
#define BUCKTHORNSHUNT_WIRE_CELL_CODEC_H

#include "decide/cell_job.h"
#include "decide/cell_owner.h"
#include "decide/fleet_layout.h"
#include "decide/quota_ledger.h"
#include "ports/worker_calls.h"
#include "wire/json_fields.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// Limits of a job, which keep the records of its tasks in memory.
constexpr std::size_t kMaxSteps = 256;
constexpr std::uint32_t kMaxTasksPerStep = 100'000;
/// Maximum number of tasks in all occurrences of a job.
constexpr std::uint64_t kMaxTasksPerJob = 1'000'000;

/// Limit on the value of a row, from the platform's contract.
constexpr std::size_t kMaxRowBytes = 65'536;

/// Fails with MessageFailure if the job exceeds a limit, doesn't fit a row or
/// the time of its last occurrence can't be represented.
leaf::result<void>
CheckJobSpec(const JobSpec& aSpec);

/// CBOR encodings of the rows that a cell keeps in the store. Decoders fail
/// with MessageFailure.
std::string
EncodeStoredJob(const StoredJob& aJob);
leaf::result<StoredJob>
DecodeStoredJob(std::string_view aId, std::string_view aBytes);

std::string
EncodeProgress(const StoredProgress& aProgress);
/// As EncodeProgress, but leaves checkpoints and crashes out if the row would
/// exceed kMaxRowBytes: without them a task does work again, but counts the
/// same failures. None if it still doesn't fit.
std::optional<std::string>
EncodeProgressRow(const StoredProgress& aProgress);
leaf::result<StoredProgress>
DecodeProgress(std::string_view aBytes);

std::string
EncodeOwnerRow(const OwnerRow& aRow);
leaf::result<OwnerRow>
DecodeOwnerRow(std::string_view aBytes);

/// Row of the grants of an organisation's maximum.
std::string
EncodeQuotaRow(const QuotaRow& aRow);
leaf::result<QuotaRow>
DecodeQuotaRow(std::string_view aBytes);

std::string
EncodeLayout(const FleetLayout& aLayout);
leaf::result<FleetLayout>
DecodeLayout(std::string_view aBytes);

std::string
EncodeWorkerSet(std::span<const WorkerAddress> aWorkers);
/// A malformed entry names a worker without an endpoint, and without an id if
/// that can't be read.
leaf::result<std::vector<WorkerAddress>>
DecodeWorkerSet(std::string_view aBytes);

/// A job's specification, as stored and as relayed between nodes. The decoder
/// fails with MessageFailure.
Json
JobSpecToJson(const JobSpec& aSpec);
leaf::result<JobSpec>
JobSpecFromJson(const Json& aJson);

} // namespace buckthornshunt

#endif
