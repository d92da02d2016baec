package org.guavagw.internal.rollout;

import java.util.Optional;
import org.guavagw.config.VersionRef;

/** A version and why it was chosen. Immutable. */
public record VersionChoice(VersionRef version, ChoiceReason reason, Optional<String> rolloutId) {}
