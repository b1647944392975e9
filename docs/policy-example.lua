-- An example policy: every setting with its default but two.
local boots = 1.0
return {
  idle_keep_s = 20,        -- seconds an empty machine is kept at least
  idle_keep_boots = boots, -- and in boot times of its type
  silent_keep_s = 15,      -- seconds beyond its lease that a silent machine is kept
  boot_limit = 4,          -- patience with slow boots (default 3)
  refused_pause_s = 10,    -- seconds without asking after a refusal
  reserve = 1.0,           -- more machines kept ready than by default (0.5)
}
