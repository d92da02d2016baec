package org.guavagw.gateway.internal.placement;

import java.util.List;
import java.util.Set;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * What placement decides by. Immutable.
 *
 * @param candidates backend servers that may take the request by every rule
 * @param excluded ids of those that were tried already
 * @param model model that will answer; empty for plain services
 */
public record PlacementQuery(
    List<BackendServer> candidates,
    Set<String> excluded,
    String localDataCentre,
    String model,
    List<PromptPart> prompt,
    int promptTokens,
    long nowNanos) {}
