package turnstore

import "pulleygw.example/pulleygw/internal/tier/storage"

// life is a simulated disk as one process has it: once that process has ended, none of its calls does anything.
type life struct {
	*memoryDisk
	number int
}

// use returns the disk for a process that starts.
func (d *memoryDisk) use() *life {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &life{memoryDisk: d, number: d.life}
}

func (l *life) over() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.number != l.life {
		return errDiskTrouble
	}
	return nil
}

func (l *life) Create(path string) (storage.File, error) {
	if err := l.over(); err != nil {
		return nil, err
	}
	return l.memoryDisk.Create(path)
}

func (l *life) Rename(from, to string) error {
	if err := l.over(); err != nil {
		return err
	}
	return l.memoryDisk.Rename(from, to)
}

func (l *life) Remove(path string) error {
	if err := l.over(); err != nil {
		return err
	}
	return l.memoryDisk.Remove(path)
}

func (l *life) SyncFile(path string) error {
	if err := l.over(); err != nil {
		return err
	}
	return l.memoryDisk.SyncFile(path)
}

func (l *life) SyncDir(folder string) error {
	if err := l.over(); err != nil {
		return err
	}
	return l.memoryDisk.SyncDir(folder)
}
