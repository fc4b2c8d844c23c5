#include "wire/config_schema.h"

namespace buckthornshunt {

const std::string_view kBaseSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["format", "spare_pool", "sites", "pools"],
  "properties": {
    "format": {"type": "integer", "minimum": 1, "maximum": 1},
    "spare_pool": {"type": "string", "minLength": 1},
    "maintenance": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "period_days": {"type": "integer", "minimum": 1, "maximum": 365},
        "racks_at_once": {"type": "integer", "minimum": 1, "maximum": 64}
      }
    },
    "sites": {
      "type": "object",
      "minProperties": 1,
      "maxProperties": 64,
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "required": ["vms"],
        "properties": {
          "vms": {"type": "integer", "minimum": 0, "maximum": 100000},
          "vms_per_rack": {"type": "integer", "minimum": 1, "maximum": 1000}
        }
      }
    },
    "pools": {
      "type": "object",
      "minProperties": 1,
      "maxProperties": 4096,
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "required": ["vms"],
        "properties": {
          "vms": {"type": "integer", "minimum": 0, "maximum": 100000},
          "spare_vms": {"type": "integer", "minimum": 0, "maximum": 100000},
          "slots_per_vm": {"type": "integer", "minimum": 1, "maximum": 4096},
          "connections_per_vm": {"type": "integer", "minimum": 1, "maximum": 65536},
          "queue_limit": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "long_after_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
          "cents_per_vm_hour": {"type": "number", "minimum": 0},
          "availability": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "vms": {"type": "integer", "minimum": 0, "maximum": 100000},
              "racks": {"type": "integer", "minimum": 0, "maximum": 1000}
            }
          },
          "operations": {
            "type": "object",
            "maxProperties": 256,
            "additionalProperties": {
              "type": "object",
              "additionalProperties": false,
              "properties": {
                "idempotent": {"type": "boolean"},
                "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 604800000},
                "urgent": {"type": "boolean"}
              }
            }
          }
        }
      }
    },
    "teams": {
      "type": "object",
      "maxProperties": 4096,
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "required": ["slots"],
        "properties": {"slots": {"type": "integer", "minimum": 0, "maximum": 1000000}}
      }
    }
  }
})";

const std::string_view kOverlaySchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["format", "site"],
  "properties": {
    "format": {"type": "integer", "minimum": 1, "maximum": 1},
    "site": {"type": "string", "minLength": 1},
    "maintenance": {
      "type": "object",
      "minProperties": 1,
      "additionalProperties": false,
      "properties": {"racks_at_once": {"type": "integer", "minimum": 1, "maximum": 64}}
    },
    "pools": {
      "type": "object",
      "minProperties": 1,
      "maxProperties": 4096,
      "additionalProperties": {
        "type": "object",
        "minProperties": 1,
        "additionalProperties": false,
        "properties": {
          "vms": {"type": "integer", "minimum": 0, "maximum": 100000},
          "spare_vms": {"type": "integer", "minimum": 0, "maximum": 100000},
          "queue_limit": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "cents_per_vm_hour": {"type": "number", "minimum": 0},
          "availability": {
            "type": "object",
            "minProperties": 1,
            "additionalProperties": false,
            "properties": {
              "vms": {"type": "integer", "minimum": 0, "maximum": 100000},
              "racks": {"type": "integer", "minimum": 0, "maximum": 1000}
            }
          }
        }
      }
    },
    "teams": {
      "type": "object",
      "minProperties": 1,
      "maxProperties": 4096,
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "required": ["slots"],
        "properties": {"slots": {"type": "integer", "minimum": 0, "maximum": 1000000}}
      }
    }
  }
})";

const std::string_view kSettingsSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["node", "data_centre", "callers", "peers", "platform"],
  "properties": {
    "node": {"type": "string", "minLength": 1, "maxLength": 128},
    "data_centre": {"type": "string", "minLength": 1, "maxLength": 128},
    "callers": {"type": "string"},
    "peers": {"type": "string"},
    "platform": {"type": "string"},
    "peer_seeds": {"type": "array", "maxItems": 256, "items": {"type": "string"}},
    "workload": {
      "type": "object",
      "additionalProperties": false,
      "required": ["ready", "metrics"],
      "properties": {
        "ready": {"type": "string"},
        "metrics": {"type": "string"},
        "machines": {"type": "string"},
        "advice": {"type": "string"},
        "grace_s": {"type": "number", "exclusiveMinimum": 0, "maximum": 600},
        "status_kept_s": {"type": "number", "exclusiveMinimum": 0, "maximum": 86400},
        "longest_run_lease_ms": {"type": "number", "minimum": 0, "maximum": 600000},
        "duty_lease_ms": {"type": "number", "minimum": 0, "maximum": 600000},
        "separate_interference": {"type": "boolean"},
        "key_revocation_ms": {"type": "number", "minimum": 0, "maximum": 600000},
        "processor_share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "processor_speed": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000},
        "link_mbps": {"type": "number", "exclusiveMinimum": 0},
        "max_links": {"type": "integer", "minimum": 8, "maximum": 65536},
        "max_link_bytes": {"type": "integer", "minimum": 1048576, "maximum": 1073741824}
      }
    },
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "format": {"type": "string", "enum": ["text", "json"]},
        "level": {"type": "string", "enum": ["debug", "info", "warn", "error"]}
      }
    }
  }
})";

} // namespace buckthornshunt
