#pragma once

#include "rattanward/domain/client_account.h"
#include "rattanward/domain/config.h"
#include "rattanward/domain/error.h"
#include "rattanward/domain/event.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/port/clock.h"
#include "rattanward/port/event_sink.h"
