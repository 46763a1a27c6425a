exports['broken files names every fault of configuration-references.jsonc 1'] = [
  "configuration-references.jsonc:4:52: found a limit for \"catalog\", expected the name of a service (nearest: \"catalogue\")",
  "configuration-references.jsonc:6:15: found the name \"jabar\" again, expected a name that no other of \"regions\" has",
  "configuration-references.jsonc:9:34: found \"jabarr\", expected the name of a region (nearest: \"jabar\")",
  "configuration-references.jsonc:14:18: found a second link between \"jateng\" and \"jabar\", expected one link a pair of regions",
  "configuration-references.jsonc:15:18: found a link from \"jabar\" to itself, expected two regions that differ",
  "configuration-references.jsonc:16:28: found \"bali\", expected the name of a region",
  "configuration-references.jsonc:25:24: found a queue of 20, expected at most \"maxRequestsPerVm\", which is 10",
  "configuration-references.jsonc:31:17: found any host and path \"/lookups\" again, expected a match other than one of service \"catalogue\"",
  "configuration-references.jsonc:36:15: found the name \"c1\" again, expected a name that no other of \"targets\" has",
  "configuration-references.jsonc:36:32: found \"catalouge\", expected the name of a service (nearest: \"catalogue\")",
  "configuration-references.jsonc:36:92: found \"bdg-b\", expected the name of a failure domain (nearest: \"bdg-a\")",
  "configuration-references.jsonc:37:53: found \"127.1.1.11:9100\" again, expected an address other than that of target \"c1\"",
  "configuration-references.jsonc:42:18: found \"ledgre\", expected the name of a service (nearest: \"ledger\")",
  "configuration-references.jsonc:43:25: found \"jabr\", expected the name of a region (nearest: \"jabar\")",
  "configuration-references.jsonc:44:17: found weights that are all zero, expected at least one route with a weight above 0",
  "configuration-references.jsonc:44:50: found a second route to no label, expected one route for the same labels",
  "configuration-references.jsonc:52:22: found region=jabar track=new, expected labels that at least one target of ledger carries",
  "configuration-references.jsonc:59:15: found \"10.11.4.0/24\", which overlaps \"10.11.0.0/16\", expected blocks that do not overlap",
  "configuration-references.jsonc:60:15: found \"10.12.0.1/16\", expected \"10.12.0.0/16\", with no bits set after the prefix",
  "configuration-references.jsonc:61:15: found \"10.13.0.0\", expected an IPv4 block such as \"10.1.0.0/16\"",
  "configuration-references.jsonc:61:38: found \"jatim\", expected the name of a region"
]

exports['broken files names every fault of configuration-shape.jsonc 1'] = [
  "configuration-shape.jsonc:1:1: found no \"maxEntryVms\", expected a whole number from 1 to 10000 (entry VMs)",
  "configuration-shape.jsonc:2:14: found 2, expected 1, the version of this format",
  "configuration-shape.jsonc:3:57: found \"yes\", expected \"true\" or \"false\"",
  "configuration-shape.jsonc:3:96: found 0, expected a whole number from 1 to 1000000",
  "configuration-shape.jsonc:4:72: found unknown key \"region\", expected a label name: a letter, then up to 62 letters, digits, \".\", \"_\" or \"-\", and none of the built-in region, failureDomain, service",
  "configuration-shape.jsonc:4:91: found unknown key \"9\", expected a label name: a letter, then up to 62 letters, digits, \".\", \"_\" or \"-\", and none of the built-in region, failureDomain, service",
  "configuration-shape.jsonc:5:26: found a list of 1, expected a list of two region names",
  "configuration-shape.jsonc:5:58: found 0, expected a number from 1 to 10000000 (Mbit/s each way)",
  "configuration-shape.jsonc:5:73: found -1, expected a number from 0 to 10000 (milliseconds one way)",
  "configuration-shape.jsonc:9:20: found \"speed\", expected \"headroom\" or \"latency\"",
  "configuration-shape.jsonc:10:34: found \"get\", expected an HTTP method in capitals, or \"*\"",
  "configuration-shape.jsonc:10:55: found \"lookups\", expected a path prefix that starts with \"/\" and has no \"?\", \"#\" or space",
  "configuration-shape.jsonc:10:79: found \"idempotent\", expected \"repeatable\" or \"at-most-once\"",
  "configuration-shape.jsonc:11:22: found 2, expected a number from 0 to 1 (retries as a share of requests)",
  "configuration-shape.jsonc:12:31: found 0, expected a whole number from 1 to 1000000",
  "configuration-shape.jsonc:13:7: found unknown key \"retryBuget\", expected \"retryBudget\", the nearest known name",
  "configuration-shape.jsonc:17:56: found \"127.1.1.11:0\", expected an address such as \"10.0.0.1:8080\" with a port from 1 to 65535",
  "configuration-shape.jsonc:17:107: found 0, expected a whole number from 1 to 1000000",
  "configuration-shape.jsonc:18:5: found no \"service\", expected a name of 1 to 63 lower-case letters, digits and inner hyphens",
  "configuration-shape.jsonc:18:21: found unknown key \"servce\", expected \"service\", the nearest known name",
  "configuration-shape.jsonc:18:55: found \"bdg:9100\", expected an address such as \"10.0.0.1:8080\" with a port from 1 to 65535",
  "configuration-shape.jsonc:18:102: found 2.5, expected a whole number from 1 to 1000000",
  "configuration-shape.jsonc:21:54: found an empty list, expected a list of at least one route",
  "configuration-shape.jsonc:21:76: found 0, expected a number above 0 and up to 1 (share of the traffic that may move in a window)",
  "configuration-shape.jsonc:21:96: found 0, expected a whole number from 1 to 86400 (seconds)",
  "configuration-shape.jsonc:22:82: found -1, expected a number from 0 to 1000000 (relative weight)",
  "configuration-shape.jsonc:22:98: found no \"windowSeconds\", expected a whole number from 1 to 86400 (seconds)",
  "configuration-shape.jsonc:22:107: found 1.5, expected a number above 0 and up to 1 (share of the traffic that may move in a window)",
  "configuration-shape.jsonc:24:30: found \"10.0.0.0/33\", expected an IPv4 block such as \"10.1.0.0/16\"",
  "configuration-shape.jsonc:25:27: found 0, expected a whole number from 1 to 3600 (seconds)"
]

exports['broken files names every fault of settings-empty.jsonc 1'] = [
  "settings-empty.jsonc:1:1: found the end of the file or of a line, expected JSON with comments (value expected)"
]

exports['broken files names every fault of settings-ports.jsonc 1'] = [
  "settings-ports.jsonc:1:1: found no \"vmList\", expected an object with \"url\"",
  "settings-ports.jsonc:1:1: found port 8081 again, expected a port other than that of \"callerPort\""
]

exports['broken files names every fault of settings-shape.jsonc 1'] = [
  "settings-shape.jsonc:3:9: found \"10.0.0.256\", expected an IPv4 number such as \"10.0.0.1\"",
  "settings-shape.jsonc:4:17: found 80800, expected a whole number from 1 to 65535 (port)",
  "settings-shape.jsonc:5:3: found unknown key \"peerprot\", expected \"peerPort\", the nearest known name",
  "settings-shape.jsonc:6:20: found \"Bdg A\", expected a name of 1 to 63 lower-case letters, digits and inner hyphens",
  "settings-shape.jsonc:7:27: found an empty list, expected a list of at least one URL",
  "settings-shape.jsonc:7:41: found \"burdockcove\", expected a key prefix that ends in \"/\"",
  "settings-shape.jsonc:8:22: found \"ftp://127.1.250.2/vms\", expected a URL that starts with http:// or https://",
  "settings-shape.jsonc:8:57: found 1.5, expected a whole number from 100 to 60000 (milliseconds)",
  "settings-shape.jsonc:9:21: found \"loud\", expected \"debug\", \"info\", \"warn\" or \"error\"",
  "settings-shape.jsonc:9:29: found unknown key \"colour\", expected one of \"level\", \"format\"",
  "settings-shape.jsonc:10:3: found a second key \"log\", expected each key once"
]

exports['broken files names every fault of settings-syntax.jsonc 1'] = [
  "settings-syntax.jsonc:3:3: found \"\\\"callerPort\\\"\", expected JSON with comments (comma expected)",
  "settings-syntax.jsonc:4:15: found \",\", expected JSON with comments (value expected)"
]
