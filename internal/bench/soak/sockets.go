package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// inodeOfPeer returns the inode of the other end of a connection on the loopback interface. It asks the kernel
// for that socket alone; the list of all sockets, which it falls back to, takes milliseconds where there are
// thousands.
func inodeOfPeer(conn *net.TCPConn) (string, bool) {
	peer, own := conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr)
	if inode, err := diagnose(peer, own); err == nil {
		return strconv.FormatUint(uint64(inode), 10), inode != 0
	}
	return inodeOf(peer, own)
}

// Sizes and offsets of struct inet_diag_req_v2 and struct inet_diag_msg, see sock_diag(7).
const (
	diagRequestBytes = 56
	diagPorts        = 8 // offset of the source port in the request; the destination port follows
	diagSource       = 12
	diagDestination  = 28
	diagCookie       = 48
	diagInode        = 68 // offset in the response
	anyCookie        = 0xff
)

// diagnose returns the inode of the socket with the given ends, zero if there is none.
func diagnose(local, remote *net.TCPAddr) (inode uint32, err error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(fd) }()
	message := make([]byte, unix.NLMSG_HDRLEN+diagRequestBytes)
	binary.NativeEndian.PutUint32(message, uint32(len(message)))
	binary.NativeEndian.PutUint16(message[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(message[6:], unix.NLM_F_REQUEST)
	request := message[unix.NLMSG_HDRLEN:]
	request[0], request[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[4:], ^uint32(0)) // in any state
	binary.BigEndian.PutUint16(request[diagPorts:], uint16(local.Port))
	binary.BigEndian.PutUint16(request[diagPorts+2:], uint16(remote.Port))
	copy(request[diagSource:], local.IP.To4())
	copy(request[diagDestination:], remote.IP.To4())
	for i := diagCookie; i < diagRequestBytes; i++ {
		request[i] = anyCookie
	}
	if err := unix.Sendto(fd, message, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	response := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(fd, response, 0)
	if err != nil {
		return 0, err
	}
	switch kind := binary.NativeEndian.Uint16(response[4:]); {
	case kind == unix.SOCK_DIAG_BY_FAMILY && n >= unix.NLMSG_HDRLEN+diagInode+4:
		return binary.NativeEndian.Uint32(response[unix.NLMSG_HDRLEN+diagInode:]), nil
	case kind == unix.NLMSG_ERROR && n >= unix.NLMSG_HDRLEN+4:
		code := -int32(binary.NativeEndian.Uint32(response[unix.NLMSG_HDRLEN:]))
		if unix.Errno(code) == unix.ENOENT {
			return 0, nil
		}
		return 0, unix.Errno(code)
	default:
		return 0, fmt.Errorf("response of the kernel of type %d with %d bytes", kind, n)
	}
}

// inodeOf returns the inode of the socket with the given ends on the loopback interface. Sockets with other
// destinations may have the same local port.
func inodeOf(local, remote *net.TCPAddr) (string, bool) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = file.Close() }()
	ends := fmt.Sprintf("0100007F:%04X 0100007F:%04X", local.Port, remote.Port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1]+" "+fields[2] == ends {
			return fields[9], true
		}
	}
	return "", false
}
