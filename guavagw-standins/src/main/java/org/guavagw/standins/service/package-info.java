/** A stand-in for plain services, which counts what it executes. */
package org.guavagw.standins.service;
