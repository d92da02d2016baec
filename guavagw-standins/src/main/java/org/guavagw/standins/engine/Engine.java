package org.guavagw.standins.engine;

import org.guavagw.standins.http.Connections;

/** The components of an engine that requests use. Immutable; all components are thread-safe. */
record Engine(
    EngineSettings settings,
    EngineFaults faults,
    ContinuousBatch batch,
    PrefixCache cache,
    ExecutionLog log,
    QualityModel quality,
    RequestRegistry requests,
    Connections connections) {}
