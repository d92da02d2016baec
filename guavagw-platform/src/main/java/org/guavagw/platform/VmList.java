package org.guavagw.platform;

import io.vavr.control.Either;
import java.util.List;

/** The platform's lagging list of VMs. Implementations are thread-safe and block. */
public interface VmList {
  /** Entry VMs as far as the platform knows. */
  Either<PlatformFailure, List<Vm>> vms();
}
