package org.guavagw.standins.engine;

import org.guavagw.standins.http.Connections;

/** The parts of an engine that requests work with. Immutable; all parts are thread-safe. */
record Engine(
    EngineSettings settings,
    EngineFaults faults,
    ContinuousBatch batch,
    PrefixCache cache,
    ExecutionLog log,
    QualityModel quality,
    RequestRegistry requests,
    Connections connections) {}
