"""The bytes of each message of ``messages``, as daemons in use write them.

A daemon of another version reads these; they change only with the protocol.
"""

from __future__ import annotations

ENCODED: dict[str, bytes] = {
    "run": (
        b"\xdc\x00\x11\xa3run\xa2a1\xa1s\xa1c\xa1x\xa2me\xa1k\xcd\x03\x84"
        b"\x02\x01\xa1t\xa4POST\xa2/p\x91\x92\xa1h\xa1v\xc4\x04body\t\xc3"
    ),
    "run answer": (
        b"\xdc\x00\x10\xa6answer\xa2a1\xa2i1\xa4done\xa4none\x05\x01\xcb?"
        b"\xe0\x00\x00\x00\x00\x00\x00\xcb?\xf4\x00\x00\x00\x00\x00\x00"
        b"\xcc\xc8\x91\x92\xa1h\xa1v\xc4\x04body\xc3\xc4\x06digest\xcb@ "
        b"\x00\x00\x00\x00\x00\x00\xcb?\xd0\x00\x00\x00\x00\x00\x00"
    ),
    "body part": b"\x96\xa4part\xa2a1\x02\xc4\x04data\xc3\xc4\x06digest",
    "part taken": b"\x92\xa5taken\xc3",
    "answer next": b"\x93\xa4next\xa2a1\x02",
    "answer part": b"\x95\xa5anext\xc4\x04data\xc3\xc4\x06digest\xc3",
    "cancel": b"\x92\xa6cancel\xa2a1",
    "ticket ask": b"\x95\xa6ticket\xa1s\xa1c\xa2me\xa1x",
    "ticket given": (
        b"\x99\xa5given\xa1t\xcd\x03\x84\xa4done\xa4none\x05\xa2i1\xcb?"
        b"\xe0\x00\x00\x00\x00\x00\x00\xcb?\xf4\x00\x00\x00\x00\x00\x00"
    ),
    "ping": b"\x91\xa4ping",
    "pong": b"\x93\xa4pong\xa2i1\xc3",
    "control": b"\x92\xa7control\xc4\x04body",
    "nothing": b"\x91\xa7nothing",
    "gossip": (
        b"\x9a\x01\xa4vm-1\xad10.0.0.5:7301\xa2i1\xc3\x07\x0b\x91\x92\x03"
        b"\xc4 \x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f"
        b"\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a\x1b\x1c\x1d\x1e"
        b"\x1f\x91\xa1b\x91\x97\xa4vm-1\xa2i1\x04\x01\xc3\xc3\x96\xa4vm-1"
        b"\xa1s\xa1a\xa2r1\xad10.0.0.5:7301\xa7leaving"
    ),
    "gossip reply": (
        b"\x9a\x02\xa4vm-1\xad10.0.0.5:7301\xa2i1\xc3\x07\x0b\x91\x92\x03"
        b"\xc4 \x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f"
        b"\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a\x1b\x1c\x1d\x1e"
        b"\x1f\x91\xa1b\x91\x97\xa4vm-1\xa2i1\x04\x01\xc3\xc3\x96\xa4vm-1"
        b"\xa1s\xa1a\xa2r1\xad10.0.0.5:7301\xa7leaving"
    ),
    "bundle fetch": (
        b"\x92\x03\x92\x03\xc4 \x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n"
        b"\x0b\x0c\r\x0e\x0f\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a"
        b"\x1b\x1c\x1d\x1e\x1f"
    ),
    "bundle reply": (
        b"\x93\x04\x92\x03\xc4 \x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n"
        b"\x0b\x0c\r\x0e\x0f\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a"
        b"\x1b\x1c\x1d\x1e\x1f\xc4\x01z"
    ),
    "members fetch": b"\x92\x05\x92\x01\x02",
    "members reply": b"\x93\x06\xc4\x01z\x07",
    "probe request": b"\x94\x07\xa4vm-1\xad10.0.0.5:7301\xc3",
    "probe result": b"\x94\x08\xa4vm-1\xa4vm-2\xc3",
    "received": b"\x91\t",
    "members": (
        b"\x91\x97\xa4vm-1\xa2i1\x04\x01\xc3\xc3\x96\xa4vm-1\xa1s\xa1a"
        b"\xa2r1\xad10.0.0.5:7301\xa7leaving"
    ),
    "ask": b"9 i-1 r 7.2500 1.5000 0.2500",
    "state": b"9 1 0.500 0.7500 8.0 0.2500 1.250 1 turned_away queue_delay",
    "poll": (
        b"GET /-sassafras/view?after=9 HTTP/1.1\r\nHost: 10.0.0.5\r\nSass"
        b"afras-Feed: 0.500\r\nSassafras-Sender: m\r\nSassafras-Crashes: "
        b"0\r\nSassafras-Confirmed: 3 0.5 0.25\r\n\r\n"
    ),
    "answer with changes": (
        b"12 9 3.250 0.500 1 4.500\n\x88\xa8revision\x0c\xa7content\t\xa5"
        b"whole\xc2\xa6policy\xc0\xa9instances\x91\x8b\xa2id\xa3i-1\xa7se"
        b"rvice\xa1s\xa4host\xa810.0.0.5\xa4portP\xa5since\x05\xaefailure"
        b"_domain\xa1a\xa6region\xa2r1\xa5slots\x08\xa5state\xa7leaving"
        b"\xaccold_seconds\xcb?\xf8\x00\x00\x00\x00\x00\x00\xa4born\xcf"
        b"\x00\x00\x01\x8b\xcf\xe5h\x00\xa7removed\x91\xa3i-2\xa8unusable"
        b"\x91\xa3i-3\xa8ahead_to\xff"
    ),
    "answer with all": (
        b"12 9 3.250 0.500 1 4.500\n\x88\xa8revision\x0c\xa7content\t\xa5"
        b"whole\xc3\xa6policy\x85\xa7version\x03\xa6routes\x91\x8a\xa4nam"
        b"e\xa1r\xa4host\xa1h\xa6prefix\xa3/a/\xaaidempotent\xc3\xa7timeo"
        b"ut\xcb@\x00\x00\x00\x00\x00\x00\x00\xa9objective\xcb?\xe0\x00"
        b"\x00\x00\x00\x00\x00\xaaimportance\x07\xacattempts_max\x02\xa6s"
        b"hares\x91\x82\xa7service\xa1s\xa6weight\xcb?\xf0\x00\x00\x00"
        b"\x00\x00\x00\xa9anonymous\xc3\xa6limits\x84\xaahead_bytes\xcd"
        b"\x03\xe8\xaabody_bytes\xcd\x07\xd0\xachead_seconds\xcb@\x14\x00"
        b"\x00\x00\x00\x00\x00\xacidle_seconds\xcb@>\x00\x00\x00\x00\x00"
        b"\x00\xa8services\x91\xa1t\xa9customers\x91\x85\xa4name\xa1c\xa4"
        b"keys\x91\xc4\x10\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b"
        b"\x0c\r\x0e\x0f\xa4rate\xcb@$\x00\x00\x00\x00\x00\x00\xa5burst"
        b"\xcb@\x14\x00\x00\x00\x00\x00\x00\xaaimportance\x08\xa9instance"
        b"s\x91\x8b\xa2id\xa3i-1\xa7service\xa1s\xa4host\xa810.0.0.5\xa4p"
        b"ortP\xa5since\x05\xaefailure_domain\xa1a\xa6region\xa2r1\xa5slo"
        b"ts\x08\xa5state\xa7leaving\xaccold_seconds\xcb?\xf8\x00\x00\x00"
        b"\x00\x00\x00\xa4born\xcf\x00\x00\x01\x8b\xcf\xe5h\x00\xa7remove"
        b"d\x90\xa8unusable\x90\xa8ahead_to\xff"
    ),
    "answer without changes": b"12 9 3.250 0.500 1 4.500\n",
    "snapshot": (
        b"\x84\xa8revision\x0c\xa7content\t\xa6policy\x85\xa7version\x03"
        b"\xa6routes\x91\x8a\xa4name\xa1r\xa4host\xa1h\xa6prefix\xa3/a/"
        b"\xaaidempotent\xc3\xa7timeout\xcb@\x00\x00\x00\x00\x00\x00\x00"
        b"\xa9objective\xcb?\xe0\x00\x00\x00\x00\x00\x00\xaaimportance"
        b"\x07\xacattempts_max\x02\xa6shares\x91\x82\xa7service\xa1s\xa6w"
        b"eight\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa9anonymous\xc3\xa6limi"
        b"ts\x84\xaahead_bytes\xcd\x03\xe8\xaabody_bytes\xcd\x07\xd0\xach"
        b"ead_seconds\xcb@\x14\x00\x00\x00\x00\x00\x00\xacidle_seconds"
        b"\xcb@>\x00\x00\x00\x00\x00\x00\xa8services\x91\xa1t\xa9customer"
        b"s\x91\x85\xa4name\xa1c\xa4keys\x91\xc4\x10\x00\x01\x02\x03\x04"
        b"\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f\xa4rate\xcb@$\x00\x00"
        b"\x00\x00\x00\x00\xa5burst\xcb@\x14\x00\x00\x00\x00\x00\x00\xaai"
        b"mportance\x08\xa9instances\x91\x8b\xa2id\xa3i-1\xa7service\xa1s"
        b"\xa4host\xa810.0.0.5\xa4portP\xa5since\x05\xaefailure_domain"
        b"\xa1a\xa6region\xa2r1\xa5slots\x08\xa5state\xa7leaving\xaccold_"
        b"seconds\xcb?\xf8\x00\x00\x00\x00\x00\x00\xa4born\xcf\x00\x00"
        b"\x01\x8b\xcf\xe5h\x00"
    ),
    "crash records": (
        b"ffffffffffffffff kZijaS0xzwAAAYvP5WgAzQXcxAECxAEBxAEBxBCAAAAAAA"
        b"AABQAAAAAAAAAHksz6AA=="
    ),
    "quota ask": (
        b"\x83\xa4host\xa810.0.0.5\xa5needs\x91\x84\xa8customer\xa1c\xa6d"
        b"emand\xcb@\x12\x00\x00\x00\x00\x00\x00\xa4left\x03\xa6wanted"
        b"\x07\xa5stamp\xcb\x00\x00\x00\x00\x00\x00\x00\x00"
    ),
    "quota granted": (
        b"\x83\xa8redirect\xa810.0.0.6\xa6grants\x91\x83\xa8customer\xa1c"
        b"\xa6tokens\x07\xa4wait\xcb?\xe0\x00\x00\x00\x00\x00\x00\xa5stam"
        b"p\xcb\x00\x00\x00\x00\x00\x00\x00\x00"
    ),
    "quota canvass": b"\x81\xa4host\xa810.0.0.5",
    "quota update": (
        b"\x88\xa6domain\xa1a\xa4host\xa810.0.0.5\xa4mark\xa1m\xa6serial"
        b"\x04\xa5whole\xc3\xa8adopting\xc3\xa6claims\x81\xa1c\xcb?\xe0"
        b"\x00\x00\x00\x00\x00\x00\xa7demands\x81\xa1c\xcb@\x12\x00\x00"
        b"\x00\x00\x00\x00"
    ),
    "quota acknowledged": (
        b"\x85\xa4mark\xa1m\xa8redirect\xa810.0.0.6\xa8occupied\xa810.0.0"
        b".7\xa8adopting\xc3\xa5yours\x81\xa1c\xcb?\xd0\x00\x00\x00\x00"
        b"\x00\x00"
    ),
    "bundle": (
        b'{"format":1,"mesh":"m","version":2,"supersedes":1,"failure_doma'
        b'ins":{"a":"r"},"services":{"s":{"slots":1,"connections":2,"call'
        b's":["t"],"cold_start_ms":3},"t":{"slots":1,"connections":1,"cal'
        b'ls":[],"cold_start_ms":5000}},"classes":{"c":{"service":"s","im'
        b'portance":9,"deadline_ms":900,"once":true,"retries":2,"caller_r'
        b'epeats":4,"max_body_bytes":1000,"refusal":{"queue_ms":1,"retry_'
        b'after_min_ms":2,"retry_after_max_ms":3}}},"tenants":{"x":{"shar'
        b'e":0.5}},"rollout":["a"],"retry_budget":{"ratio":0.2,"burst":3}'
        b',"subset_size":4,"ticket_lifetime_ms":5000}'
    ),
    "envelope": (
        b'{"payload":"{}","approvals":[{"key":"ops-1","signature":"c2ln"}]}'
    ),
    "list of VMs": (
        b'[{"vm":"vm-1","service":"s","failure_domain":"a","region":"r1",'
        b'"address":"10.0.0.5:7301","state":"leaving"}]'
    ),
    "items of the store": (
        b'[[["Policy",{"version":3,"routes":[{"name":"r","host":"h","pref'
        b'ix":"/a/","idempotent":true,"timeout":2.0,"objective":0.5,"impo'
        b'rtance":7,"attempts_max":2,"shares":[{"service":"s","weight":0.'
        b'75}],"anonymous":true}],"limits":{"head_bytes":1000,"body_bytes'
        b'":2000,"head_seconds":5.0,"idle_seconds":30.0},"services":["t"]'
        b',"customers":[{"name":"c","keys":["gq8nxkJFv9FaUgE0tE5rsQ=="],"'
        b'rate":10.0,"burst":5.0,"importance":8}]}],["Instance",{"id":"i-'
        b'1","service":"s","host":"10.0.0.5","port":80,"since":5,"failure'
        b'_domain":"a","region":"r1","slots":8,"state":"leaving","cold_se'
        b'conds":1.5,"born":1700000000000}],["Removed",{"id":"i-2"}],["Un'
        b'usable",{"id":"i-3"}]],[{"key":"servers/i-3","revision":6,"reas'
        b'on":"slots"}]]'
    ),
    "ticket": b"vm-1~i1~3~90000~s~write-down~1415f141ebedce1afd64082a20514855",
    "refusal": (
        b'[503, [["content-type", "application/json"], ["sassafras-outcom'
        b'e", "not-run"], ["sassafras-reason", "shed_at_callee"], ["retry'
        b'-after", "2"]], "{\\"outcome\\":\\"not run\\",\\"reason\\":\\"s'
        b'hed_at_callee\\",\\"detail\\":\\"d\\",\\"retry_after_ms\\":1500'
        b'}"]'
    ),
    "status page": (
        b'{"vm":"vm-1","service":"s","failure_domain":"a","region":"r1","'
        b'incarnation":"i1","state":"leaving","in_force":{"bundle":{"vers'
        b'ion":3,"digest":"d"},"mesh":"m","approved_by":["ops-1"],"age_se'
        b'conds":1.5},"newest_seen":{"version":4,"digest":"e"},"refused_b'
        b'undles":[{"source":"vm-2","reason":"unsigned","detail":"why","a'
        b'ge_seconds":2.5}],"conflicts":[{"version":3,"kept":"d","dropped'
        b'":"e"}],"members":5,"members_by_domain":{"a":3,"b":2},"platform'
        b'":{"watching":true,"reachable":false,"heard_seconds":0.5},"inst'
        b'ance":{"slots":8,"limit":4.5,"running":3,"waiting":2,"shed_floo'
        b'r":1.25},"entrance":{"in_flight":7,"retry_tokens":{"s":1.5},"sh'
        b'ed_floors":{"c":0.5}},"counters":{"retries":2}}'
    ),
    "health page": b'{"state":"starting"}',
    "feed page": (
        b'{"parent":"store","since":1.5,"view_age":0.5,"store_lost":null,'
        b'"revision":12,"content":9,"policy":3,"rank":1,"known":5,"waitin'
        b'g":2,"avoided":["10.0.0.6"],"lost":["10.0.0.7"],"era":1}'
    ),
    "crashes page": (
        b'[{"fingerprint":"00ff","standing":"blocked","strikes":3,"isolat'
        b'ed":1,"familiar":true,"blocked_for":71.5,"crashes":[{"instance"'
        b':"i-1","age":2.5}]}]'
    ),
    "quotas page": (
        b'{"allocator":"10.0.0.5","policy_age":0.5,"customers":[{"custome'
        b'r":"c","rate":10.0,"demand":4.5,"tokens":3,"share":0.25}]}'
    ),
    "metrics": (
        b"# HELP sassafrasstair_bundle_version Version of the bundle in f"
        b"orce, 0 for none\n# TYPE sassafrasstair_bundle_version gauge\ns"
        b"assafrasstair_bundle_version 0\n# HELP sassafrasstair_in_flight"
        b" Calls under way at this entrance\n# TYPE sassafrasstair_in_fli"
        b"ght gauge\nsassafrasstair_in_flight 0\n# HELP sassafrasstair_le"
        b"aving 1 after a planned stop began\n# TYPE sassafrasstair_leavi"
        b"ng gauge\nsassafrasstair_leaving 0\n# HELP sassafrasstair_limit"
        b" Requests that may run at the upstream now\n# TYPE sassafrassta"
        b"ir_limit gauge\nsassafrasstair_limit 0.0\n# HELP sassafrasstair"
        b"_members Daemons that this one sees alive\n# TYPE sassafrasstai"
        b"r_members gauge\nsassafrasstair_members 0\n# HELP sassafrasstai"
        b"r_running Requests at the upstream now\n# TYPE sassafrasstair_r"
        b"unning gauge\nsassafrasstair_running 0\n# HELP sassafrasstair_s"
        b"hed_floor Rank below which the upstream's daemon refuses\n# TYP"
        b"E sassafrasstair_shed_floor gauge\nsassafrasstair_shed_floor 0."
        b"0\n# HELP sassafrasstair_waiting Requests that wait for the ups"
        b"tream\n# TYPE sassafrasstair_waiting gauge\nsassafrasstair_wait"
        b"ing 0\n# HELP sassafrasstair_bundles_adopted_total Bundles that"
        b" came into force here\n# TYPE sassafrasstair_bundles_adopted_to"
        b"tal counter\n# HELP sassafrasstair_bundles_refused_total Bundle"
        b"s refused, by reason\n# TYPE sassafrasstair_bundles_refused_tot"
        b'al counter\nsassafrasstair_bundles_refused_total{reason="unsign'
        b'ed"} 1\n# HELP sassafrasstair_late_answers_total Answers droppe'
        b"d: late, doubled or of no call\n# TYPE sassafrasstair_late_answ"
        b"ers_total counter\nsassafrasstair_late_answers_total 1\n# HELP "
        b"sassafrasstair_platform_reads_total Calls to the platform, a wa"
        b"tch as one\n# TYPE sassafrasstair_platform_reads_total counter"
        b"\nsassafrasstair_platform_reads_total 1\n# HELP sassafrasstair_"
        b"refusals_total Refusals given to callers, by class and reason\n"
        b"# TYPE sassafrasstair_refusals_total counter\nsassafrasstair_re"
        b'fusals_total{class="other",outcome="not run",reason="leaving"} '
        b"1\n# HELP sassafrasstair_retries_total Attempts after the first"
        b", by service called\n# TYPE sassafrasstair_retries_total counte"
        b'r\nsassafrasstair_retries_total{service="other"} 1\n# HELP sass'
        b"afrasstair_call_seconds Time of whole answers to callers\n# TYP"
        b"E sassafrasstair_call_seconds histogram\nsassafrasstair_call_se"
        b'conds_count{class="other",tenant="other"} 1.0\nsassafrasstair_c'
        b'all_seconds_sum{class="other",tenant="other"} 0.5\n# HELP sassa'
        b"frasstair_upstream_seconds Time of attempts at the upstream\n# "
        b"TYPE sassafrasstair_upstream_seconds histogram\nsassafrasstair_"
        b'upstream_seconds_count{class="other"} 1.0\nsassafrasstair_upstr'
        b'eam_seconds_sum{class="other"} 0.5\n{"refusals": 1, "retries": '
        b'1, "late_answers": 1, "bundles_refused": 1, "bundles_adopted": '
        b'0, "platform_reads": 1}'
    ),
}

WITHOUT_LATER_FIELDS: dict[str, bytes] = {
    "answer with changes": (
        b"12 9 3.250 0.500 1 4.500\n\x87\xa8revision\x0c\xa7content\t\xa5"
        b"whole\xc2\xa6policy\xc0\xa9instances\x91\x8b\xa2id\xa3i-1\xa7se"
        b"rvice\xa1s\xa4host\xa810.0.0.5\xa4portP\xa5since\x05\xaefailure"
        b"_domain\xa1a\xa6region\xa2r1\xa5slots\x08\xa5state\xa7leaving"
        b"\xaccold_seconds\xcb?\xf8\x00\x00\x00\x00\x00\x00\xa4born\xcf"
        b"\x00\x00\x01\x8b\xcf\xe5h\x00\xa7removed\x91\xa3i-2\xa8unusable"
        b"\x91\xa3i-3"
    ),
    "quota ask": (
        b"\x82\xa4host\xa810.0.0.5\xa5needs\x91\x84\xa8customer\xa1c\xa6d"
        b"emand\xcb@\x12\x00\x00\x00\x00\x00\x00\xa4left\x03\xa6wanted"
        b"\x07"
    ),
    "quota granted": (
        b"\x82\xa8redirect\xa810.0.0.6\xa6grants\x91\x83\xa8customer\xa1c"
        b"\xa6tokens\x07\xa4wait\xcb?\xe0\x00\x00\x00\x00\x00\x00"
    ),
}
"""Messages of daemons of before a field was added."""
