package org.guavagw.platform;

/**
 * An entry VM as the platform's list shows it, which may be late. Immutable.
 *
 * @param controlPort port for the protocol between entries
 * @param leaving whether the platform is about to take the VM away
 */
public record Vm(String id, String dataCentre, String host, int controlPort, boolean leaving) {}
