package org.guavagw.internal.dispatch;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Consumer;
import org.guavagw.internal.engine.EngineClient;
import org.guavagw.internal.limits.RetryBudget;
import org.guavagw.internal.permit.PermitService;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.placement.PlacementPolicy;
import org.guavagw.internal.rollout.VersionOutcome;
import org.guavagw.internal.time.Clocks;

/** The collaborators of request dispatch. Immutable. */
public record DispatchDependencies(
    ObjectMapper json,
    DispatchGuard guard,
    BackendIndexHolder index,
    BackendViews views,
    PlacementPolicy placement,
    PermitService permits,
    RetryBudget retries,
    EngineClient engines,
    Consumer<VersionOutcome> outcomes,
    Clocks clocks,
    String localDataCentre) {}
