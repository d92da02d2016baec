package org.guavagw.gateway.spi;

import java.util.Optional;
import java.util.OptionalLong;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.Team;

/**
 * The gateway's information for a backend server about one attempt. Immutable.
 *
 * @param remainingMillis time left until the deadline
 * @param model model that the gateway chose
 * @param resumeAfter id of the event after which the backend server resumes the stream
 */
public record AttemptHead(
    BackendServer server,
    Optional<Team> team,
    long remainingMillis,
    Optional<String> model,
    OptionalLong resumeAfter,
    int priority) {}
