package org.guavagw.internal.rollout;

import java.util.Optional;
import org.guavagw.config.VersionRef;

/** Chosen version with the reason for the choice. Immutable. */
public record VersionChoice(VersionRef version, ChoiceReason reason, Optional<String> rolloutId) {}
