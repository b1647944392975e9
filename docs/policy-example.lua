-- An example policy: every setting with its default but two.
local boots = 0.3
return {
  idle_keep_s = 10,        -- seconds an empty machine is kept at least
  idle_keep_boots = boots, -- and in boot times of its type
  silent_keep_s = 15,      -- seconds beyond its lease that a silent machine is kept
  boot_limit = 4,          -- patience with slow boots (default 3)
  refused_pause_s = 10,    -- seconds without asking after a refusal
  reserve = 1.0,           -- more machines kept ready than by default (0.5)
  preempt_loss_s = 30,     -- seconds a task that can't save may have run and still be stopped for higher rank
  patience = 0.5,          -- factor on how long work may wait before machines are rented for it
}
