@placement
Feature: The fold decides who owns the capacity of a host

  Hosts h1 and h2 (rack r1), h3 and h4 (rack r2) of pool p have 8 cores each;
  g1 of pool q has 8. Workspace w may use 24 cores, v may use 8. A job has 4
  cores unless it says otherwise; d1 and d2 are daemons.

  Scenario Outline: <case>
    When the records are folded: <records>
    Then the decisions are <decisions>
    And job a is <a>

    Examples: Submissions
      | case                       | records                              | decisions   | a                     |
      | a job that fits            | submit a                             | ok          | queued                |
      | a repeated submission      | submit a; again                      | ok ok       | queued                |
      | the id of another's job    | submit a; submit a w=v               | ok no       | queued                |
      | more than any host has     | submit a cpu=9                       | no          | refused too_large     |
      | its refusal repeated       | submit a cpu=9; again                | no no       | refused too_large     |
      | over its quota alone       | submit a cpu=8 gpu=1 w=v             | no          | refused over_quota    |
      | an unknown pool            | submit a pool=x                      | no          | refused unknown_pool  |
      | no size                    | submit a cpu=0                       | no          | refused bad_size      |
      | a size that isn't a number | submit a cpu=nan                     | no          | refused bad_size      |
      | a submission from long ago | submit b; wait 2000; submit a ago=1999 | ok ok no  | unknown               |

    Examples: Capacity, quota and one host at a time
      | case                         | records                                                          | decisions      | a             |
      | a placement                  | submit a; place a h1                                             | ok ok          | placed on h1  |
      | a duplicated placement       | submit a; place a h1; again                                      | ok ok no       | placed on h1  |
      | two daemons, one job         | submit a; place a h1; place a h3 by=d2                           | ok ok no       | placed on h1  |
      | two daemons, last capacity   | submit b cpu=8; submit a; place b h1; place a h1 by=d2           | ok ok ok no    | queued        |
      | a host of another pool       | submit a; place a g1                                             | ok no          | queued        |
      | a host under maintenance     | submit a; disrupt h1; place a h1                                 | ok ok no       | queued        |
      | a host that is down          | submit a; down h1; place a h1                                    | ok ok no       | queued        |
      | the quota used up            | submit b cpu=8 w=v; submit a cpu=4 w=v; place b h1; place a h2   | ok ok ok no    | queued        |
      | a holder that never joined   | submit a; place a h1 by=d9                                       | ok no          | queued        |
      | an old placement repeated    | submit a; place a h1; step a checkpointed; repeat 1              | ok ok ok no    | queued        |
      | capacity from throttling     | submit b cpu=8; submit a; place b h1; step b running; step b throttled; place a h1 | ok ok ok ok ok ok | placed on h1 |
      | a throttle older than a run  | submit a; place a h1; step a running; step a throttled seen=4    | ok ok ok no    | running on h1 |
      | no capacity to resume        | submit b cpu=8; submit a; place b h1; step b running; step b throttled; place a h1; step b running | ok ok ok ok ok ok no | placed on h1 |

    Examples: Ends and cancellations
      | case                           | records                                                    | decisions      | a                  |
      | done                           | submit a; place a h1; step a running; end a done           | ok ok ok ok    | done               |
      | done, recorded twice           | submit a; place a h1; end a done; again                    | ok ok ok no    | done               |
      | cancelled while queued         | submit a; cancel a; place a h1                             | ok ok no       | cancelled          |
      | cancelled before it started    | submit a; place a h1; cancel a; step a running; step a returned | ok ok ok ok ok | cancelled     |
      | cancelled twice                | submit a; cancel a; cancel a                               | ok ok ok       | cancelled          |
      | cancelled, submitted again     | submit a; cancel a; submit a                               | ok ok ok       | cancelled          |
      | cancelled by another workspace | submit a; cancel a w=v                                     | ok no          | queued             |
      | no such job                    | cancel a                                                   | no             | unknown            |
      | failed once                    | submit a; place a h1; end a failed; place a h1             | ok ok ok no    | queued             |
      | failed on three hosts          | submit a; place a h1; end a failed; place a h2; end a failed; place a h3; end a failed | ok ok ok ok ok ok ok | failed |
      | the end of an old lease        | submit a; place a h1; step a checkpointed; place a h2; repeat 1; end a done lease=0 | ok ok ok ok no no | placed on h2 |
      | a checkpoint while cancelled   | submit a; place a h1; cancel a; step a checkpointed        | ok ok ok ok    | cancelled          |

    Examples: Leases
      | case                          | records                                                                         | decisions          | a            |
      | a lapse without abandoning    | submit a; place a h1; wait 2000; renew d1; step a lapsed                        | ok ok ok ok no     | placed on h1 |
      | a lapse before its time       | submit a; place a h1; step a abandoned; wait 900; renew d1; step a lapsed       | ok ok ok ok ok no  | placed on h1 |
      | a lapse after skew            | submit a; place a h1; step a abandoned; wait 906; renew d1; step a lapsed       | ok ok ok ok ok ok  | queued       |
      | an abandoned job found again  | submit a; place a h1; step a abandoned; step a running; wait 906; renew d1; step a lapsed | ok ok ok ok ok ok no | running on h1 |
      | taken from an active holder   | submit a; place a h1; take d1 by=d2                                             | ok ok no           | placed on h1 |
      | taken from a silent holder    | submit a; place a h1; wait 31; renew d2; take d1 by=d2; step a abandoned by=d2  | ok ok ok ok ok ok  | placed on h1 |
      | taken from one that left      | submit a; place a h1; leave d1; take d1 by=d2                                   | ok ok ok ok        | placed on h1 |
