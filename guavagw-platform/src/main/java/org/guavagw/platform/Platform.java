package org.guavagw.platform;

/** Everything that an entry uses of the platform. Immutable. */
public record Platform(
    TableService table,
    ObjectStore objects,
    VmList vms,
    RatingService ratings,
    WeightStore weights) {}
