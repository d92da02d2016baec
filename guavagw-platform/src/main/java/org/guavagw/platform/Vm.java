package org.guavagw.platform;

/**
 * An entry VM in the platform's VM list, which may be out of date. Immutable.
 *
 * @param controlPort port for the protocol between entries
 * @param leaving whether the platform is about to remove the VM
 */
public record Vm(String id, String dataCentre, String host, int controlPort, boolean leaving) {}
