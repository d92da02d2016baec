package org.guavagw.gateway.internal.placement;

import java.util.List;
import java.util.Set;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * The input of a placement decision. Immutable.
 *
 * @param candidates backend servers that are eligible for the request
 * @param excluded incarnations to which the request was already sent
 * @param model model that the request is sent to; empty for plain services
 */
public record PlacementQuery(
    List<BackendServer> candidates,
    Set<String> excluded,
    String localDataCentre,
    String model,
    List<PromptPart> prompt,
    int promptTokens,
    long nowNanos) {}
